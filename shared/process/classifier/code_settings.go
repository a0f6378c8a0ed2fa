package classifier

// Result codes of settings.
const (
	// SettingsSyntax means that the settings file is not valid TOML.
	SettingsSyntax Code = 401
	// SettingsUnknownKey means that the settings contain a key that does not exist.
	SettingsUnknownKey Code = 402
	// SettingsType means that a value has the wrong type.
	SettingsType Code = 403
	// SettingsRange means that a value is outside its range.
	SettingsRange Code = 404
	// SettingsReference means that a value refers to something that does not exist.
	SettingsReference Code = 405
	// SettingsBudget means that an availability budget can't be met by its pool.
	SettingsBudget Code = 406
	// SettingsConflict means that another change was accepted first.
	SettingsConflict Code = 407
	// SettingsNotFound means that the requested revision does not exist.
	SettingsNotFound Code = 408
	// SettingsTooLarge means that the settings are larger than the platform's service can store.
	SettingsTooLarge Code = 409
	// SettingsNotInForce means that the change was accepted, but some nodes did not confirm it in time.
	SettingsNotInForce Code = 410
)

var settingsCodes = []Description{
	{
		Code:    SettingsSyntax,
		Name:    "settingsSyntax",
		Summary: "The settings file is not valid TOML.",
		Remedy:  "Correct the line named.",
	},
	{
		Code:    SettingsUnknownKey,
		Name:    "settingsUnknownKey",
		Summary: "The settings hold a key that does not exist.",
		Remedy:  "Use the nearest known key named.",
	},
	{
		Code:    SettingsType,
		Name:    "settingsType",
		Summary: "A value has the wrong type.",
		Remedy:  "Correct the value named.",
	},
	{
		Code:    SettingsRange,
		Name:    "settingsRange",
		Summary: "A value is outside its range.",
		Remedy:  "Correct the value named.",
	},
	{
		Code:    SettingsReference,
		Name:    "settingsReference",
		Summary: "A value refers to something that does not exist.",
		Remedy:  "Correct the reference named.",
	},
	{
		Code:    SettingsBudget,
		Name:    "settingsBudget",
		Summary: "An availability budget can't be met by its pool.",
		Remedy:  "Lower the budget or enlarge the pool.",
	},
	{
		Code:    SettingsConflict,
		Name:    "settingsConflict",
		Summary: "Another change was accepted first.",
		Remedy:  "Review the difference and apply the change again.",
	},
	{
		Code:    SettingsNotFound,
		Name:    "settingsNotFound",
		Summary: "The revision asked for does not exist.",
		Remedy:  "See cfw settings history.",
	},
	{
		Code:    SettingsTooLarge,
		Name:    "settingsTooLarge",
		Summary: "The settings are larger than the platform's service holds.",
		Remedy:  "Shorten the settings.",
	},
	{
		Code:    SettingsNotInForce,
		Name:    "settingsNotInForce",
		Summary: "The change was accepted, but some nodes have not confirmed it in time.",
		Remedy:  "See cfw status for the nodes named.",
	},
}
