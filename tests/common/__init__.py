"""common: see the modules in this package."""
