//! Values by name for lists in the same order.

mod relay_support;

use guavausher_core::relay::name_table;
use relay_support::name;

/// Adds one to the value of each name, and returns what the table holds of all letters.
fn count(lists: &[&str]) -> Vec<(char, u32)> {
    let mut table = name_table::NameTable::<u32>::default();
    for list in lists {
        let mut cursor = name_table::Cursor::default();
        for letter in list.chars() {
            *table.next(&mut cursor, &name(&letter.to_string())) += 1;
        }
    }
    let held = ('a'..='f').map(|letter| (letter, table.get(&name(&letter.to_string())).copied()));
    held.filter_map(|(letter, value)| Some((letter, value?)))
        .collect()
}

#[test]
fn next_finds_names_in_any_order() {
    let expected = vec![('a', 3), ('b', 3), ('d', 2)];
    assert_eq!(count(&["abd", "ab", "dba"]), expected);
}

#[test]
fn next_inserts_missing_names_in_order() {
    let expected = vec![('a', 2), ('b', 1), ('c', 2), ('e', 2), ('f', 1)];
    assert_eq!(count(&["ce", "abce", "af"]), expected);
}

#[test]
fn from_iter_sorts_names() {
    let entries = ["c", "a", "b"].map(|text| (name(text), text.len()));
    let table: name_table::NameTable<usize> = entries.into_iter().collect();
    assert_eq!(table.get(&name("a")), Some(&1));
    assert_eq!(table.get(&name("d")), None);
}
