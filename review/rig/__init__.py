"""Stand-ins and helpers that the scripts of the review share.

They need the standard library only. Each follows the users' pages; where a page is
silent, it behaves like a sound store, engine, client or platform.
"""
