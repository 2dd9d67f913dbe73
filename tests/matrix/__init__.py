"""matrix: see the modules in this package."""
