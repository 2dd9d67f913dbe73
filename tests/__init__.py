"""Tests of turmericusher."""
