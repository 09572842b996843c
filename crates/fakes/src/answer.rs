//! Deterministic answers of the fake engine.
//!
//! An answer depends only on the prompt, so that a caller can verify the complete text.

const WORDS: [&str; 16] = [
    "apple", "crust", "oven", "butter", "alarm", "visit", "report", "order", "cherry", "shelf",
    "battery", "ladder", "pastry", "window", "tenant", "flour",
];

fn mix(mut value: u64) -> u64 {
    value ^= value >> 33;
    value = value.wrapping_mul(0xff51_afd7_ed55_8ccd);
    value ^= value >> 33;
    value = value.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    value ^ (value >> 33)
}

fn prompt_hash(prompt: &[u8]) -> u64 {
    let fold = |hash: u64, byte: &u8| mix(hash ^ u64::from(*byte));
    prompt.iter().fold(0x9e37_79b9, fold)
}

/// Returns the text of the token at `index` in the answer to a prompt.
pub fn token_text(prompt: &[u8], index: u32) -> String {
    token_for_hash(prompt_hash(prompt), index)
}

pub(crate) fn token_for_hash(hash: u64, index: u32) -> String {
    let word = WORDS[(mix(hash ^ u64::from(index)) % WORDS.len() as u64) as usize];
    format!("{word}{index} ")
}

pub(crate) fn hash_prompt(prompt: &[u8]) -> u64 {
    prompt_hash(prompt)
}

/// Returns the complete answer of `tokens` tokens to a prompt.
pub fn expected_answer(prompt: &[u8], tokens: u32) -> String {
    let hash = prompt_hash(prompt);
    (0..tokens)
        .map(|index| token_for_hash(hash, index))
        .collect()
}
