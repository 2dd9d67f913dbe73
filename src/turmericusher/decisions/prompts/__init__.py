"""Prompts of which an upstream still holds the beginning.

Load: prompts that share long parts, or callers who come back with the same one. A part
that is held need not be prefilled again, which otherwise delays every request there.
"""
