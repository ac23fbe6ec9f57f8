//! Finds files of the entry that import each other in a cycle, from their `use` lines.
//!
//! Files of a cycle cannot be understood, tested or changed independently. `in_force`, which holds the settings and
//! keys in force, must import nothing else of the entry. Tasks of an entry may import its node, and tasks of the
//! owner may import the owner, but not the other way round; no test checks this last rule.

#![expect(clippy::unwrap_used, reason = "a test stops where it fails")]

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    path::{Path, PathBuf},
};

/// Folder with the sources of the entry.
const ROOT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/src/entry");

/// Maximum number of files in a cycle; the goal is to have no cycles.
const MAX_CYCLE_FILES: usize = 17;

/// Path of a module below the entry, such as `owner::requests`; empty for the entry itself.
type Module = String;

/// The modules that each module of the entry imports.
type Imports = BTreeMap<Module, BTreeSet<Module>>;

/// Returns all files below a folder.
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

/// Returns the module that a file contains.
fn module_of(file: &Path) -> Module {
    let path = file.strip_prefix(ROOT).unwrap().with_extension("");
    let parts = path.iter().map(|part| part.to_str().unwrap());
    let named: Vec<&str> = parts.filter(|part| *part != "mod").collect();
    named.join("::")
}

/// Returns the full paths that a `use` tree imports.
fn expand_tree(prefix: &str, tree: &str) -> Vec<String> {
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
    full.flat_map(|branch| expand_tree(&prefix, branch))
        .collect()
}

/// Resolves a path imported by a module to a path below the entry, or returns nothing if it leads out of the entry.
fn resolve(module: &str, path: &str) -> Option<String> {
    if let Some(rest) = path.strip_prefix("crate::entry") {
        return Some(rest.trim_start_matches("::").to_owned());
    }
    let mut base: Vec<&str> = module.split("::").filter(|part| !part.is_empty()).collect();
    let mut rest = path;
    while let Some(up) = rest.strip_prefix("super") {
        base.pop()?;
        rest = up.trim_start_matches("::");
    }
    if rest == path && !path.starts_with("self::") {
        // A child module, as in `mod log; use log::read;`.
        return Some([&base[..], &[rest]].concat().join("::"));
    }
    Some(
        [&base[..], &[rest.trim_start_matches("self::")]]
            .concat()
            .join("::"),
    )
}

/// Returns the module that a path names, or the innermost module that contains the named item.
fn containing_module(known: &BTreeSet<Module>, path: &str) -> Option<Module> {
    let mut path = path;
    loop {
        if known.contains(path) {
            return (!path.is_empty()).then(|| path.to_owned());
        }
        path = &path[..path.rfind("::")?];
    }
}

/// Returns the `use` trees of a file.
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

/// Returns the imports of all modules of the entry.
fn imports() -> Imports {
    let files = files(Path::new(ROOT));
    let known: BTreeSet<Module> = files.iter().map(|file| module_of(file)).collect();
    let of_file = |file: &PathBuf| {
        let (text, module) = (fs::read_to_string(file).unwrap(), module_of(file));
        let trees = use_trees(&text);
        let named = trees.iter().flat_map(|tree| expand_tree("", tree));
        let below = named.filter_map(|path| resolve(&module, &path.replace(' ', "")));
        let modules = below.filter_map(|path| containing_module(&known, &path));
        let others = modules.filter(|other| *other != module).collect();
        (module, others)
    };
    files.iter().map(of_file).collect()
}

/// Returns the modules that a module imports directly or indirectly.
fn reachable(imports: &Imports, from: &Module) -> BTreeSet<Module> {
    let mut found = BTreeSet::new();
    let mut pending = vec![from];
    while let Some(module) = pending.pop() {
        for next in imports.get(module).into_iter().flatten() {
            if found.insert(next.clone()) {
                pending.push(next);
            }
        }
    }
    found
}

/// Returns the import cycles, each with all of its modules.
fn cycles(imports: &Imports) -> BTreeSet<Vec<Module>> {
    let reached: BTreeMap<&Module, BTreeSet<Module>> = imports
        .keys()
        .map(|module| (module, reachable(imports, module)))
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
fn no_import_cycle_is_large() {
    let imports = imports();
    let known = imports.values().flatten().count();
    assert!(known > 50, "the `use` lines were not read: {known}");
    for found in cycles(&imports) {
        println!("{} files import each other: {found:?}", found.len());
        assert!(found.len() <= MAX_CYCLE_FILES, "{found:?}");
    }
}

#[test]
fn settings_and_keys_in_force_import_nothing_of_the_entry() {
    let imports = imports();
    assert_eq!(imports["in_force"], BTreeSet::new());
}

#[test]
fn a_cycle_is_found() {
    let edges = [("a", "b"), ("b", "c"), ("c", "a"), ("c", "d")];
    let mut imports = Imports::from([("d".to_owned(), BTreeSet::new())]);
    for (from, to) in edges {
        let found = imports.entry(from.to_owned()).or_default();
        found.insert(to.to_owned());
    }
    let expected = ["a", "b", "c"].map(str::to_owned).to_vec();
    assert_eq!(cycles(&imports), BTreeSet::from([expected]));
}
