"""Replicate versioned values between processes."""
