//! Small keys for the names of images.

use std::collections::HashMap;

/// The key of an image in [`Images`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ImageKey(u32);

/// The names of all known images and their keys.
#[derive(Debug, Default)]
pub struct Images {
    keys: HashMap<String, ImageKey>,
    names: Vec<String>,
}

impl Images {
    /// Returns the key of an image and adds the image if it is new.
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

    /// Returns the key of an image, if the image is known.
    pub fn find(&self, name: &str) -> Option<ImageKey> {
        self.keys.get(name).copied()
    }

    /// Returns the name of an image.
    pub fn name(&self, key: ImageKey) -> &str {
        &self.names[key.0 as usize]
    }
}
