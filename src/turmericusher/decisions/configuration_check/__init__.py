"""Checks of a configuration before operators put it in force."""
