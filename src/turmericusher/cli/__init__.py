"""The `turmericusher` command line."""
