"""Helpers, fakes and simulations that several tests share."""
