//! Values by name, for lists that have mostly the same names in the same order.

use crate::name;

/// Values by name, in the order of the names.
///
/// Instances report the same workspaces in the same order, so that the entry of each one stands right
/// behind that of the one before: one comparison finds it.
#[derive(Clone, Debug, Default)]
pub struct NameTable<T> {
    entries: Vec<(name::Name, T)>,
}

/// Where the entry of the next name of a list is expected.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cursor(usize);

impl<T: Default> NameTable<T> {
    /// Returns the value of a name, which is added if it is missing, and moves the cursor behind it.
    pub fn next(&mut self, cursor: &mut Cursor, name: &name::Name) -> &mut T {
        let expected = self.entries.get(cursor.0);
        let index = match expected.is_some_and(|(known, _)| known == name) {
            true => cursor.0,
            false => self.find_or_insert(name),
        };
        cursor.0 = index + 1;
        &mut self.entries[index].1
    }

    fn find_or_insert(&mut self, name: &name::Name) -> usize {
        let found = self.entries.binary_search_by(|(known, _)| known.cmp(name));
        found.unwrap_or_else(|index| {
            self.entries.insert(index, (name.clone(), T::default()));
            index
        })
    }
}

impl<T> NameTable<T> {
    /// Returns the value of a name.
    pub fn get(&self, name: &name::Name) -> Option<&T> {
        let found = self.entries.binary_search_by(|(known, _)| known.cmp(name));
        found.ok().map(|index| &self.entries[index].1)
    }
}

impl<T> FromIterator<(name::Name, T)> for NameTable<T> {
    fn from_iter<I: IntoIterator<Item = (name::Name, T)>>(entries: I) -> Self {
        let mut entries: Vec<_> = entries.into_iter().collect();
        entries.sort_by(|(a, _), (b, _)| a.cmp(b));
        entries.dedup_by(|(a, _), (b, _)| a == b);
        Self { entries }
    }
}
