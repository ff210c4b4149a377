#!/bin/sh
# Installs the packages that the build and the tests need and that are missing here.
set -eu
want="gcc g++ make pkg-config libmicrohttpd-dev libcurl4-openssl-dev libjson-c-dev
libck-dev libprotobuf-c-dev liblog4c-dev libhttp-parser-dev zlib1g-dev libcmocka-dev librapidcheck-dev python3 python3-prometheus-client
clang-format clang-tidy libclang-rt-14-dev"
missing=""
for p in $want; do
    dpkg-query -W -f='${Status}' "$p" 2>/dev/null | grep -q "ok installed" || missing="$missing $p"
done
[ -z "$missing" ] && exit 0
echo "installing:$missing"
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $missing >/dev/null
