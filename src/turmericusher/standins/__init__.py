"""Small stand-ins of the platform and of upstreams, with switches for faults."""
