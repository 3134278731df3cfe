"""Tests of the emulator, and of what must hold under its patterns."""
