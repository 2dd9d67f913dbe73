"""Stand-ins for the platform and for upstreams, with switches for their faults."""
