//! Parts of prompts and their keys.

/// Most parts of a prompt that are looked at.
const MOST_PARTS: usize = 64;

/// A part under its salt and model, as the fleet names it ([`peer::part_key`]). Two parts with one key cost a wrong
/// guess, nothing more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PartKey(pub u64);

impl PartKey {
    /// The key of the part `id` (hexadecimal, as in `Prompt-Prefix`) kept under this salt and model.
    pub fn new(salt: &str, model: &str, id: &str) -> PartKey {
        PartKey(peer::part_key(model, salt, id))
    }
}

/// A part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// Its key.
    pub key: PartKey,
    /// Its length in tokens.
    pub tokens: u32,
}

/// The text is no `Prompt-Prefix`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptError;

impl Part {
    /// Reads a `Prompt-Prefix` (`ID:TOKENS,ID:TOKENS`); parts past a bound are left out.
    ///
    /// # Errors
    /// Tells that an item is not `ID:TOKENS`.
    pub fn read_prompt(text: &str, salt: &str, model: &str) -> Result<Vec<Part>, PromptError> {
        let part = |item: &str| {
            let (id, tokens) = item.trim().split_once(':').ok_or(PromptError)?;
            let tokens = tokens.trim().parse().map_err(|_| PromptError)?;
            Ok(Part { key: PartKey::new(salt, model, id.trim()), tokens })
        };
        text.split(',').take(MOST_PARTS).map(part).collect()
    }
}
