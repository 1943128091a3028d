"""Runs the shipped pure code in every order of events and reports a run that violates a rule."""
