#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They need no crate but the standard library.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --offline --manifest-path review/stand-ins-2/Cargo.toml --target-dir target/review-2
