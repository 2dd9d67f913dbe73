"""cover: see the modules in this package."""
