"""Decisions: synchronous state machines without input or output.

Each takes an event, the monotonic time in seconds and, where it chooses at random, a
seeded `random.Random`, and returns typed actions.
"""
