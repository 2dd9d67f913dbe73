"""Tests that inject every fault at every step of an operation."""
