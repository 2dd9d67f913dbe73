"""Uneven entry instances: how used each one is, and its share of the callers.

Load: callers are spread evenly over instances whose processors, links and memory differ
several times, so that the small ones are full while the large ones are idle.
"""
