"""Protocols for the outside systems, each with its adapters."""
