//! The project's stand-ins take the program and a folder for their files from these variables. Both are relative to
//! the folder in which `run-case.sh` starts a case: a temporary one with a link to the folder of built programs.

fn main() {
    println!("cargo:rerun-if-changed=build.rs");
    println!("cargo:rustc-env=CARGO_BIN_EXE_haremount=target/release/haremount");
    println!("cargo:rustc-env=CARGO_TARGET_TMPDIR=files");
}
