//! Names of images as small keys.

use std::collections::HashMap;

/// An image.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ImageKey(u32);

/// The images that were seen.
#[derive(Debug, Default)]
pub struct Images {
    keys: HashMap<String, ImageKey>,
    names: Vec<String>,
}

impl Images {
    /// The key of an image.
    ///
    /// ```
    /// use lycheelock::interference::Images;
    ///
    /// let mut images = Images::default();
    /// let key = images.key("a");
    /// assert_eq!(images.key("a"), key);
    /// assert_eq!(images.name(key), "a");
    /// ```
    pub fn key(&mut self, name: &str) -> ImageKey {
        if let Some(key) = self.keys.get(name) {
            return *key;
        }
        let key = ImageKey(self.names.len() as u32);
        self.keys.insert(name.to_owned(), key);
        self.names.push(name.to_owned());
        key
    }

    /// The key of an image, if it was seen before.
    pub fn find(&self, name: &str) -> Option<ImageKey> {
        self.keys.get(name).copied()
    }

    /// The name of an image.
    pub fn name(&self, key: ImageKey) -> &str {
        &self.names[key.0 as usize]
    }
}
