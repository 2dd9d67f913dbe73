"""Randomized fault-injection test of instances that run as separate processes."""
