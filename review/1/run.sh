#!/bin/sh
cd "$(dirname "$0")/../.."
exec timeout 118 python3 review/1/case.py
