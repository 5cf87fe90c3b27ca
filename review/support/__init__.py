"""Stand-ins and helpers that the review's cases share."""
