"""Adapter to the operators' platform: its names, data formats and calls."""
