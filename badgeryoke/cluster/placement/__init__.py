"""Assignment of replica groups to members, and repair of lost replicas."""
