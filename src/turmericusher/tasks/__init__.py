"""Asyncio tasks of the processes: each owns its sockets and its state."""
