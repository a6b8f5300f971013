"""Values that live for one version of what operators publish."""
