"""Weight distribution and request routing for shared pools of model engines."""
