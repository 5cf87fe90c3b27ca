"""Division of a limited resource into leased shares."""
