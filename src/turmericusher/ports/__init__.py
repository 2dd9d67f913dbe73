"""Ports to the outside systems, as protocols with their adapters."""
