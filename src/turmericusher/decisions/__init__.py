"""Decisions: synchronous state machines that do no input or output.

An event, the monotonic time in seconds and, where chance is wanted, a seeded
`random.Random` go in; typed actions come out.
"""
