"""Checkers that judge a run by what they observed themselves."""
