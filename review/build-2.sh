#!/bin/sh
# Builds the cases of the second review, each with its stand-ins, into target/review-2. It needs
# the build of the deploy file for the controllers only. Case 4 also runs the version that
# deploy/service.toml names as in production; it is built from the repository's history.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in 4 5 6 7 8; do
	if [ -f "review/$case/main.go" ]; then
		go build -tags review -o "target/review-2/$case" "./review/$case"
	fi
done

production=$(sed -n 's/^production = "\(.*\)"$/\1/p' deploy/service.toml)
folder=target/review-2/production
rm -rf "$folder"
mkdir -p "$folder"
git archive "$production" | tar -x -C "$folder"
build=$(sed -n 's/^build = "\(.*\)"$/\1/p' "$folder/deploy/service.toml")
(cd "$folder" && sh -c "$build")
