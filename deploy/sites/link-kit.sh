#!/bin/sh
# Links what the fleet bench wants beside a site file. Nothing of the kit is copied into the repository.
# Use: deploy/sites/link-kit.sh [FOLDER-WITH-real.json]
set -eu
here=$(cd "$(dirname "$0")" && pwd)
kit=$(cd "${1:-$here/../../../given/kit/more/mass/other}" && pwd)
for file in real.json wire.json unlock.txt; do
    ln -sf "$kit/$file" "$here/$file"
done
