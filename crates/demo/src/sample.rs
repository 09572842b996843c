//! A configuration with three ranks and two plain services' calls.

use conf::ConfigBook;

/// The sample configuration, as version 1.
pub fn sample_book() -> ConfigBook {
    let text = include_bytes!("sample.json");
    match ConfigBook::from_json(text) {
        Ok(mut book) => {
            book.stamp("sample".into(), "sample configuration".into());
            book
        }
        Err(error) => unreachable!("the sample configuration is valid: {error}"),
    }
}
