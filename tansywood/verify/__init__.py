"""Drives the shipped pure code through every order of events, and says which run broke a rule."""
