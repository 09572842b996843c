//! Experiments that drive the decision code in virtual time.
