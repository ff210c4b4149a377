#!/bin/sh
cd "$(dirname "$0")/../.."
exec timeout 118 python3 review/3/case.py
