"""Measurements, demonstrations and long randomised runs."""
