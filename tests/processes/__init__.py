"""processes: see the modules in this package."""
