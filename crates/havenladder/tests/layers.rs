//! Which files of the entry import each other in a loop, read from their `use` lines.
//!
//! Files of one loop cannot be understood, tested or changed one without the others. What is in force and what judges keys
//! know nothing of the entry; duties stand above the node, and the owner's duties above the owner.

#![expect(clippy::unwrap_used, reason = "a test stops where it fails")]

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    path::{Path, PathBuf},
};

/// Where the entry's files lie.
const ROOT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/src/entry");

/// How many files one loop may have at the most; it is to be none.
const MOST: usize = 17;

/// A module's path below the entry, as `owner::answer`; the entry itself is empty.
type Module = String;

/// The modules that each module imports.
type Imports = BTreeMap<Module, BTreeSet<Module>>;

/// The files below a folder.
fn files(folder: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder)
        .unwrap()
        .map(|file| file.unwrap().path());
    let nested = entries.flat_map(|path| match path.is_dir() {
        true => files(&path),
        false => vec![path],
    });
    nested.collect()
}

/// The module that a file holds.
fn module(file: &Path) -> Module {
    let path = file.strip_prefix(ROOT).unwrap().with_extension("");
    let parts = path.iter().map(|part| part.to_str().unwrap());
    let named: Vec<&str> = parts.filter(|part| *part != "mod").collect();
    named.join("::")
}

/// The paths of a `use` tree, each in full.
fn paths(prefix: &str, tree: &str) -> Vec<String> {
    let tree = tree.trim();
    let Some(open) = tree.find('{') else {
        let name = tree.split(" as ").next().unwrap();
        return vec![format!("{prefix}{name}")];
    };
    let prefix = format!("{prefix}{}", &tree[..open]);
    let inside = &tree[open + 1..tree.rfind('}').unwrap()];
    let mut depth = 0;
    let branches = inside.split(|c| {
        match c {
            '{' => depth += 1,
            '}' => depth -= 1,
            _ => {}
        }
        c == ',' && depth == 0
    });
    let full = branches.filter(|branch| !branch.trim().is_empty());
    full.flat_map(|branch| paths(&prefix, branch)).collect()
}

/// A path of a module's `use` line, below the entry; none if it leads out of it.
fn below_entry(of: &str, path: &str) -> Option<String> {
    if let Some(rest) = path.strip_prefix("crate::entry") {
        return Some(rest.trim_start_matches("::").to_owned());
    }
    let mut base: Vec<&str> = of.split("::").filter(|part| !part.is_empty()).collect();
    let mut rest = path;
    while let Some(up) = rest.strip_prefix("super") {
        base.pop()?;
        rest = up.trim_start_matches("::");
    }
    if rest == path && !path.starts_with("self::") {
        // A module below, as in `mod log; use log::read;`.
        return Some([&base[..], &[rest]].concat().join("::"));
    }
    Some(
        [&base[..], &[rest.trim_start_matches("self::")]]
            .concat()
            .join("::"),
    )
}

/// The module that a path names, or that holds what it names.
fn holder(known: &BTreeSet<Module>, path: &str) -> Option<Module> {
    let mut path = path;
    loop {
        if known.contains(path) {
            return (!path.is_empty()).then(|| path.to_owned());
        }
        path = &path[..path.rfind("::")?];
    }
}

/// The trees of a file's `use` lines.
fn use_trees(text: &str) -> Vec<String> {
    let starts = ["use ", "pub use ", "pub(super) use "];
    let mut trees = Vec::new();
    let mut rest = text;
    while !rest.is_empty() {
        let line = rest.split('\n').next().unwrap_or(rest);
        if let Some(start) = starts.iter().find(|start| line.starts_with(**start)) {
            let tree = rest[start.len()..].split(';').next().unwrap_or_default();
            trees.push(tree.replace('\n', " "));
        }
        rest = rest.get(line.len() + 1..).unwrap_or_default();
    }
    trees
}

/// What each module of the entry imports of the others.
fn imports() -> Imports {
    let files = files(Path::new(ROOT));
    let known: BTreeSet<Module> = files.iter().map(|file| module(file)).collect();
    let of_file = |file: &PathBuf| {
        let (text, of) = (fs::read_to_string(file).unwrap(), module(file));
        let trees = use_trees(&text);
        let named = trees.iter().flat_map(|tree| paths("", tree));
        let below = named.filter_map(|path| below_entry(&of, &path.replace(' ', "")));
        let modules = below.filter_map(|path| holder(&known, &path));
        let others = modules.filter(|other| *other != of).collect();
        (of, others)
    };
    files.iter().map(of_file).collect()
}

/// All that a module imports, and what that imports, and so on.
fn reached(imports: &Imports, from: &Module) -> BTreeSet<Module> {
    let mut found = BTreeSet::new();
    let mut open = vec![from];
    while let Some(module) = open.pop() {
        for next in imports.get(module).into_iter().flatten() {
            if found.insert(next.clone()) {
                open.push(next);
            }
        }
    }
    found
}

/// The loops, each with all of its modules.
fn loops(imports: &Imports) -> BTreeSet<Vec<Module>> {
    let reached: BTreeMap<&Module, BTreeSet<Module>> = imports
        .keys()
        .map(|module| (module, reached(imports, module)))
        .collect();
    let of = |module: &Module| {
        let both =
            |other: &&Module| reached[module].contains(*other) && reached[other].contains(module);
        imports.keys().filter(both).cloned().collect::<Vec<_>>()
    };
    imports
        .keys()
        .map(of)
        .filter(|found| found.len() > 1)
        .collect()
}

#[test]
fn no_loop_of_files_that_import_each_other_is_large() {
    let imports = imports();
    let known = imports.values().flatten().count();
    assert!(known > 50, "the lines were not read: {known}");
    for found in loops(&imports) {
        println!("{} files import each other: {found:?}", found.len());
        assert!(found.len() <= MOST, "{found:?}");
    }
}

#[test]
fn what_judges_keys_and_what_is_in_force_know_nothing_of_the_entry() {
    let imports = imports();
    assert_eq!(imports["in_force"], BTreeSet::new());
}

#[test]
fn a_loop_is_found() {
    let edges = [("a", "b"), ("b", "c"), ("c", "a"), ("c", "d")];
    let mut imports = Imports::from([("d".to_owned(), BTreeSet::new())]);
    for (from, to) in edges {
        let found = imports.entry(from.to_owned()).or_default();
        found.insert(to.to_owned());
    }
    let expected = ["a", "b", "c"].map(str::to_owned).to_vec();
    assert_eq!(loops(&imports), BTreeSet::from([expected]));
}
