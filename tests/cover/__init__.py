"""Quick tests, most of one module each, that start no other process."""
