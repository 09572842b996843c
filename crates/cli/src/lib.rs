//! The operators' commands, without the terminal.
