"""Tests that run the system as separate operating-system processes."""
