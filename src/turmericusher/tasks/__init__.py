"""Tasks: each owns its sockets and its state, and communicates by messages."""
