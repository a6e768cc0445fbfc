"""State that the processes of a site share: the membership view and replicas of store tables."""
