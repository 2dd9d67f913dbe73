"""tests: see the modules in this package."""
