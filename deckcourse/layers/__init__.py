"""Which upstream holds which layers of a model, and the paths that requests take over them."""
